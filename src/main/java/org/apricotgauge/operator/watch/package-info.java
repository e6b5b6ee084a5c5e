/** The program that shows version adoption, ejections and outcomes over the fleet. */
package org.apricotgauge.operator.watch;
