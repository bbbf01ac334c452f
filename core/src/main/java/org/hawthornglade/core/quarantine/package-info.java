/** Keeps parts of prompts, and requests, that crash the instances which process them from reaching further ones. */
package org.hawthornglade.core.quarantine;
