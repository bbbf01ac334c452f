/** The format of event streams. */
package org.hawthornglade.core.stream;
