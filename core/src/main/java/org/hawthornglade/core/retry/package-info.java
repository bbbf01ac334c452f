/** Whether and when a failed attempt is repeated. */
package org.hawthornglade.core.retry;
