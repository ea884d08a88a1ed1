/** The event loop that runs all decisions of a process; start reading at {@code EventLoop}. */
package org.jacinthwharf.process.loop;
