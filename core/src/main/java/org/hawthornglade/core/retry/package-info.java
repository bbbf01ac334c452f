/** Limits and delays for repeating failed attempts. */
package org.hawthornglade.core.retry;
