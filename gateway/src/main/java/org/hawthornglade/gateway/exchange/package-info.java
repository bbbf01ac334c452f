/** Exchanges, one for each call: admission, attempts, responses, streams and their resumption. */
package org.hawthornglade.gateway.exchange;
