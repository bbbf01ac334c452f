/** Frames: how an agent sends an answer to an entry. */
package org.hawthornglade.protocol.frame;
