/**
 * The users' platform: names, formats and calls of its store of keys, and the headers of its
 * callers and targets. Translates into the product's types and decides nothing.
 */
package org.apricotgauge.platform.kv;
