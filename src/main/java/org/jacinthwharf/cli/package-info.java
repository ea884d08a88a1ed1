/** Command line of the executable jar; start reading at {@code Main}. */
package org.jacinthwharf.cli;
