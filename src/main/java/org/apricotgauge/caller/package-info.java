/** The entry: handles callers' requests, the attempts made for them, and their final answers. */
package org.apricotgauge.caller;
