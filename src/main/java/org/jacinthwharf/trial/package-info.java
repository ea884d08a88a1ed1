/**
 * Checks a running fleet from a caller's side; used by {@code bin/try}. Start reading at {@code
 * Trial}.
 */
package org.jacinthwharf.trial;
