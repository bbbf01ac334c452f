/** A stand-in for the platform's list of instances. */
package org.hawthornglade.standin.instance;
