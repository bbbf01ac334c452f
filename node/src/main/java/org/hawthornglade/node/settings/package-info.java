/** Settings in JSON with comments. */
package org.hawthornglade.node.settings;
