/** The HTTP interface for callers: the OpenAI-compatible routes and calls to plain services. */
package org.hawthornglade.entry.caller;
