/** Notices that endpoints announce in their responses: leaving, retry-after pauses and rate limits. */
package org.hawthornglade.core.notice;
