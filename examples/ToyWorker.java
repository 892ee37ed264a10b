import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A worker for trying out umberrun: answers each RUN with the body of the call, as a loaded copy would. */
public final class ToyWorker {
  private ToyWorker() { }

  /** Listens on a loopback port: the first argument, or 7000 by default. */
  public static void main(String[] args) throws IOException {
    int port = args.length > 0 ? Integer.parseInt(args[0]) : 7000;
    try (ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
      while (true) {
        Socket client = listener.accept();
        new Thread(() -> serve(client)).start();
      }
    }
  }

  private static void serve(Socket client) {
    try (client) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(client.getInputStream()));
      while (true) {
        byte[][] words = new byte[Integer.parseInt(line(in).substring(1))][];
        for (int i = 0; i < words.length; i++) {
          words[i] = in.readNBytes(Integer.parseInt(line(in).substring(1)));
          line(in);
        }
        switch (text(words[0])) {
          case "RUN" -> answer(client.getOutputStream(), words[1], "200", "n=w", words[3]);
          case "HOLD" -> answer(client.getOutputStream(), words[1], "200", "pods=1", new byte[0]);
          case "NOOP", "INFO" -> answer(client.getOutputStream(), words[1], "alive", "l=util:0.1;x1:0;x0:0",
              new byte[0]);
          // STOP and FREE get no answer.
          default -> { }
        }
      }
    } catch (IOException e) {
      System.out.println("connection ended: " + e.getMessage());
    }
  }

  private static void answer(OutputStream out, byte[] id, String word, String fields, byte[] body)
      throws IOException {
    out.write("*4\r\n".getBytes(StandardCharsets.US_ASCII));
    for (byte[] part : new byte[][] {id, word.getBytes(), fields.getBytes(), body}) {
      out.write(("$" + part.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(part);
      out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    out.flush();
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c; (c = in.read()) != '\r';) {
      if (c < 0) {
        throw new IOException("connection closed by the peer");
      }
      line.append((char) c);
    }
    in.read();
    return line.toString();
  }

  private static String text(byte[] word) {
    return new String(word, StandardCharsets.US_ASCII);
  }
}
