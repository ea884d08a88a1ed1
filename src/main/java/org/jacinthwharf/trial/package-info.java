/**
 * End-to-end checks of a running fleet from the caller's side; used by {@code bin/try}. Start
 * reading at {@code Trial}.
 */
package org.jacinthwharf.trial;
