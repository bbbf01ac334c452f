/** HTTP server and HTTP utilities of the stand-ins. */
package org.hawthornglade.standin.http;
