/** HTTP calls to the platform and to engines, with failures mapped to result codes. */
package org.hawthornglade.ports.http;
