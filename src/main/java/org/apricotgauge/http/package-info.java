/**
 * Code shared by both HTTP hops: header names, hop-by-hop headers, streamed exchanges and replay of
 * small bodies.
 */
package org.apricotgauge.http;
