/** The HTTP side of the stand-ins. */
package org.hawthornglade.standin.http;
