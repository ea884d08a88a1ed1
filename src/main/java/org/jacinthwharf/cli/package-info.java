/** Command line of the executable jar. {@code Main} is the entry point. */
package org.jacinthwharf.cli;
