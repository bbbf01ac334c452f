/** What both roles share. */
package org.hawthornglade.node;
