/**
 * The gateway process: a router that serves routes by host and path, and finds the rest of the
 * fleet through seeds. Start reading at {@code GatewayProcess}; {@code ForwardedCall} is one
 * request.
 */
package org.jacinthwharf.process.gateway;
