/** Callers: their requests, the attempts made for them, and what they are told. */
package org.apricotgauge.caller;
