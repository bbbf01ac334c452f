/** Conversion between the values of core and the structures of the protocol. */
package org.hawthornglade.node.wire;
