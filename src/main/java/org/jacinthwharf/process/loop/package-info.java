/** The event loop that runs all decisions of a process. {@code EventLoop} is the entry point. */
package org.jacinthwharf.process.loop;
