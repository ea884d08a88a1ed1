/**
 * End-to-end checks of a running fleet from the caller's side; used by {@code bin/try}. {@code
 * Trial} is the entry point.
 */
package org.jacinthwharf.trial;
