/** Serves the Thrift control connections of entries. */
package org.hawthornglade.agent.control;
