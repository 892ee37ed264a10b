package umberrun;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Arrays;
import umberrun.cli.Commands;
import umberrun.config.Config.InvalidConfig;

/**
 * Entry point of the program. {@code serve} runs a front end, {@code benchlink} runs the dispatcher
 * on the binary protocol of the simulator, and any other arguments are a command for operators.
 */
public final class Main {
  private Main() {}

  /** Exits with status 2 on wrong usage or a configuration that cannot be served. */
  public static void main(String[] args) {
    if (Arrays.equals(args, new String[] {"serve"})) {
      quietLibraries();
      try {
        Server.serve(System.getenv());
      } catch (InvalidConfig | IllegalArgumentException e) {
        System.err.println("umberrun: " + e.getMessage());
        System.exit(2);
      }
    } else if (Arrays.equals(args, new String[] {"benchlink"})) {
      saddlestall.benchlink.Main.main(args);
    } else {
      System.exit(Commands.run(args));
    }
  }

  /**
   * Makes Netty and Vert.x log through {@code java.util.logging}. By default they would load SLF4J
   * and its backend, which costs start time and memory, and which only the optional parts with
   * structured logs need. To be called before any class of these libraries is used.
   */
  static void quietLibraries() {
    System.setProperty(
        "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }
}
