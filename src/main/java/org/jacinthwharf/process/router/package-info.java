/** The router process: wiring of HTTP, links and decisions. */
package org.jacinthwharf.process.router;
