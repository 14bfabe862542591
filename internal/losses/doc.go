// Package losses tells from nodes' log lines what jobs ended late or were not taken,
// what each of them lost its time to, and what work was thrown away for what reason.
package losses
