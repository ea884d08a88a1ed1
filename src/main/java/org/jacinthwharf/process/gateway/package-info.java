/**
 * The gateway process: a router that serves routes by host and path, and discovers the fleet
 * through seeds. {@code GatewayProcess} is the entry point; {@code ForwardedCall} handles one
 * request.
 */
package org.jacinthwharf.process.gateway;
