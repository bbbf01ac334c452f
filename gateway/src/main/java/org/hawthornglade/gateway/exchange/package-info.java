/** One exchange a call: admission, attempts, answers, streams and their continuation. */
package org.hawthornglade.gateway.exchange;
