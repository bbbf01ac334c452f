/** The command line, with one class for each command. */
package org.hawthornglade.app;
