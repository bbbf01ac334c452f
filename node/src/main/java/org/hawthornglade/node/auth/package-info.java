/** Proofs that a peer holds the cluster key. */
package org.hawthornglade.node.auth;
