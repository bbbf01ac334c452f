/**
 * Decisions of the placement leader about which models and adapters are on which engine, without threads or sockets.
 */
package org.hawthornglade.core.replica;
