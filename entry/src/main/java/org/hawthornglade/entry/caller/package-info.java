/** What callers speak: the OpenAI-compatible routes and plain services. */
package org.hawthornglade.entry.caller;
