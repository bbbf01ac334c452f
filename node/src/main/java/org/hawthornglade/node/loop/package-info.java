/** The thread that carries a role's decisions. */
package org.hawthornglade.node.loop;
