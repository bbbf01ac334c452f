/** What the roles entry and agent have in common. */
package org.hawthornglade.node;
