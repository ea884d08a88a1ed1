/**
 * The event loop on which a process makes all its decisions; start reading at {@code EventLoop}.
 */
package org.jacinthwharf.process.loop;
