/** Numbered result codes and typed failures. */
package org.hawthornglade.core.result;
