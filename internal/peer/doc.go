// Package peer implements calls between wheatroad processes. A call exchanges protobuf messages
// over yamux. Each client opens one connection per node and one yamux stream per request.
package peer
