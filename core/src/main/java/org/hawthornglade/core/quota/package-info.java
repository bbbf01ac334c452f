/** Quotas of teams, shared by all entries. */
package org.hawthornglade.core.quota;
