package saddlestall.benchlink;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/**
 * The command {@code benchlink}: connects the decision module to a simulator through binary frames
 * on standard input and output.
 */
public final class Main {
  private static final int BUFFER_BYTES = 1 << 16;

  private Main() {}

  /**
   * Exits with 0 when the input ends, 1 if a frame cannot be decoded or on an I/O error, 2 on wrong
   * usage.
   */
  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals("benchlink")) {
      System.err.println("usage: java -jar umberrun.jar benchlink");
      System.exit(2);
    }
    try {
      OutputStream out =
          new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES);
      new BatchLoop().run(new BufferedInputStream(System.in, BUFFER_BYTES), out);
    } catch (IOException e) {
      System.err.println("saddlestall: " + e.getMessage());
      System.exit(1);
    }
  }
}
