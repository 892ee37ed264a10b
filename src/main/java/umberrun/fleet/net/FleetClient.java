package umberrun.fleet.net;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import umberrun.fleet.net.FleetCodec.Frame;
import umberrun.fleet.net.FleetCodec.UndecodableException;

/** Asks a running member, from a shell. */
public final class FleetClient {
  private static final int PATIENCE_MILLIS = 5_000;

  private FleetClient() {}

  /** What a member answers, as JSON. */
  public static String ask(String host, int port, Frame.Kind kind) throws IOException {
    return ask(host, port, kind, "");
  }

  /** The same with words, as parts that use the fleet's listener want them. */
  public static String ask(String host, int port, Frame.Kind kind, String words)
      throws IOException {
    FleetCodec codec = new FleetCodec("");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket.connect(new InetSocketAddress(host, port), PATIENCE_MILLIS);
      byte[] asked = codec.encode(new Frame(kind, true, List.of(), words));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(asked.length);
      out.write(asked);
      out.flush();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      StringBuilder text = new StringBuilder();
      while (true) {
        int length = in.readInt();
        if (length <= 0 || length > FleetCodec.MAX_FRAME_BYTES) {
          throw new IOException("it speaks another language");
        }
        Frame f = codec.decodeFrame(in.readNBytes(length));
        text.append(f.text());
        if (f.last()) {
          return text.toString();
        }
      }
    } catch (UndecodableException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
