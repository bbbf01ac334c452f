/** A stand-in for a model engine: orders, memory, and inference with streaming answers. */
package org.hawthornglade.standin.engine;
