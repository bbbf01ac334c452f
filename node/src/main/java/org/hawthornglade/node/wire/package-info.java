/** Between the values of core and the structures on the wire. */
package org.hawthornglade.node.wire;
