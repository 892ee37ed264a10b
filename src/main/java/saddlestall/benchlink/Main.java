package saddlestall.benchlink;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** The command line: {@code benchlink} speaks the simulator's wire on standard input and output. */
public final class Main {
  private Main() {}

  /** Ends with 0 when the input ends, 1 on a frame that cannot be read, 2 on wrong usage. */
  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals("benchlink")) {
      System.err.println("usage: java -jar umberrun.jar benchlink");
      System.exit(2);
    }
    try {
      OutputStream out =
          new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
      new BatchLoop().run(new BufferedInputStream(System.in, 1 << 16), out);
    } catch (IOException e) {
      System.err.println("saddlestall: " + e.getMessage());
      System.exit(1);
    }
  }
}
