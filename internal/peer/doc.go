// Package peer implements calls between wheatroad processes: protobuf messages over yamux, one
// stream per request and one connection per node.
package peer
