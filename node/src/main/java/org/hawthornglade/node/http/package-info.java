/** HTTP clients of the data path. */
package org.hawthornglade.node.http;
