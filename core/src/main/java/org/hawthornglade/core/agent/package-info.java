/** Decision logic of an agent: model loads and unloads, attempts and draining. */
package org.hawthornglade.core.agent;
