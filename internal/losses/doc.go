// Package losses reads nodes' logs and reports which jobs missed their objective or were
// rejected, the main cause of each delay, and the work wasted, by reason.
package losses
