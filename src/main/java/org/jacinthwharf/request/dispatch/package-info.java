/**
 * Placement of requests at a gateway: chooses the backend server of each request, queues requests
 * for which there is no capacity, and refuses those that cannot start early enough. The entry point
 * is {@code Dispatcher}.
 */
package org.jacinthwharf.request.dispatch;
