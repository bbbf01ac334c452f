/** Control connections to agents. */
package org.hawthornglade.entry.control;
