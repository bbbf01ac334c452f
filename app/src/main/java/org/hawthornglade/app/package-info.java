/** The command line: one class a command. */
package org.hawthornglade.app;
